//! Starts beside what passes by itself, and beside what does not.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

use rstest::rstest;
use rustix::process::Signal;
use woadstage_standin::cases;

use crate::process::Addresses;
use crate::process::Site;
use crate::support::run;

/// A socket that holds an address.
enum Holder {
    Tcp(#[expect(dead_code, reason = "held until dropped")] TcpListener),
    Udp(#[expect(dead_code, reason = "held until dropped")] UdpSocket),
}

impl Holder {
    fn tcp(address: SocketAddr) -> Holder {
        Holder::Tcp(TcpListener::bind(address).expect("the address should be free"))
    }

    fn udp(address: SocketAddr) -> Holder {
        Holder::Udp(UdpSocket::bind(address).expect("the address should be free"))
    }
}

macro_rules! held_addresses {
    ($($name:ident: |$addresses:pat_param| $hold:expr;)*) => {
        // Guards against a node that ends because another process holds its address for a moment.
        #[rstest]
        $(#[case::$name(|$addresses: Addresses| $hold)])*
        fn a_node_waits_for_an_address_that_is_in_use(#[case] hold: fn(Addresses) -> Holder) {
            run(async {
                let site = Site::new().await?;
                let holder = hold(site.addresses);
                let mut node = site.start();
                node.wait_for_text("code=W5012").await;
                drop(holder);
                node.wait_until_serving(site.addresses).await;
                Ok(())
            })
        }

        // Guards against a node that ignores a stop while it waits.
        #[rstest]
        $(#[case::$name(|$addresses: Addresses| $hold)])*
        fn a_node_that_waits_for_an_address_can_be_stopped(#[case] hold: fn(Addresses) -> Holder) {
            run(async {
                let site = Site::new().await?;
                let _holder = hold(site.addresses);
                let mut node = site.start();
                node.wait_for_text("code=W5012").await;
                node.signal(Signal::TERM);
                assert_eq!(node.wait_for_end().await, Some(0));
                Ok(())
            })
        }
    };
}

held_addresses! {
    callers: |addresses| Holder::tcp(addresses.callers);
    operators: |addresses| Holder::tcp(addresses.operators);
    peers: |addresses| Holder::udp(addresses.peers);
}

cases! {
    // Guards against a node that ends because its predecessor still ends in order.
    a_node_waits_for_the_addresses_of_its_earlier_process => run(async {
        let site = Site::new().await?;
        let mut earlier = site.start();
        earlier.wait_until_serving(site.addresses).await;
        earlier.signal(Signal::TERM);
        let mut node = site.start();
        node.wait_for_text("code=W5012").await;
        assert_eq!(earlier.wait_for_end().await, Some(0));
        node.wait_until_serving(site.addresses).await;
        Ok(())
    });

    // Guards against a listener that closed connections of the earlier process keep out.
    a_node_starts_beside_closed_connections_of_its_earlier_process => run(async {
        let site = Site::new().await?;
        let mut earlier = site.start();
        earlier.wait_until_serving(site.addresses).await;
        let callers = std::net::TcpStream::connect(site.addresses.callers)?;
        let operators = std::net::TcpStream::connect(site.addresses.operators)?;
        earlier.signal(Signal::KILL);
        earlier.wait_for_end().await;
        drop((callers, operators));
        let mut node = site.start();
        node.wait_until_serving(site.addresses).await;
        assert!(!node.text().contains("W5012"), "{}", node.text());
        Ok(())
    });
}

macro_rules! incomplete_files {
    ($($name:ident: |$settings:pat_param| $cut:expr;)*) => {
        // Guards against a node that ends because its settings are being written.
        #[rstest]
        $(#[case::$name(|$settings: &str| $cut)])*
        fn a_node_waits_for_the_rest_of_its_settings(#[case] cut: fn(&str) -> Option<String>) {
            run(async {
                let site = Site::new().await?;
                match cut(&site.settings) {
                    Some(part) => site.write_settings(&part),
                    None => site.remove_settings(),
                }
                let mut node = site.start();
                node.wait_for_text("serve: Waiting.").await;
                site.write_settings(&site.settings);
                node.wait_until_serving(site.addresses).await;
                Ok(())
            })
        }
    };
}

fn up_to(settings: &str, end: &str) -> Option<String> {
    let (part, _) = settings
        .split_once(end)
        .expect("the settings hold the text");
    Some(format!("{part}{end}"))
}

incomplete_files! {
    missing: |_| None;
    empty: |_| Some(String::new());
    without_tables: |settings| up_to(settings, "data_centre = \"cluj-a\"\n");
    within_a_name: |settings| up_to(settings, "oper");
    within_a_line_of_the_certificate: |settings| up_to(settings, "-----BEGIN CERT");
    between_lines_of_the_certificate: |settings| up_to(settings, "-----BEGIN CERTIFICATE-----\n");
    before_the_key: |settings| up_to(settings, "-----END CERTIFICATE-----\n'''\n");
    before_the_last_line_end: |settings| Some(settings.trim_end().to_owned());
}

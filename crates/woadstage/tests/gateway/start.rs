//! Starts beside what passes by itself, and beside what does not.

use std::net::TcpListener;
use std::net::UdpSocket;

use rstest::rstest;
use rustix::process::Signal;

use crate::support::Addresses;
use crate::support::Folder;
use crate::support::wait_until;

/// A socket that holds an address.
enum Holder {
    Tcp(#[expect(dead_code, reason = "held until dropped")] TcpListener),
    Udp(#[expect(dead_code, reason = "held until dropped")] UdpSocket),
}

impl Holder {
    fn tcp(address: std::net::SocketAddrV4) -> Holder {
        Holder::Tcp(TcpListener::bind(address).expect("the address should be free"))
    }

    fn udp(address: std::net::SocketAddrV4) -> Holder {
        Holder::Udp(UdpSocket::bind(address).expect("the address should be free"))
    }
}

macro_rules! held_addresses {
    ($($name:ident: |$addresses:pat_param| $hold:expr;)*) => {
        // Guards against a node that ends because another process holds its address for a moment.
        #[rstest]
        $(#[case::$name(|$addresses: Addresses| $hold)])*
        fn a_node_waits_for_an_address_that_is_in_use(#[case] hold: fn(Addresses) -> Holder) {
            let (folder, addresses) = (Folder::new(), Addresses::new());
            folder.write_settings(&addresses.to_settings());
            let holder = hold(addresses);
            let mut node = folder.start();
            node.wait_for_event("waiting");
            assert_eq!(node.events("waiting")[0]["code"], "W5012");
            drop(holder);
            node.wait_until_serving(addresses);
        }

        // Guards against a node that ignores a stop while it waits.
        #[rstest]
        $(#[case::$name(|$addresses: Addresses| $hold)])*
        fn a_node_that_waits_for_an_address_can_be_stopped(#[case] hold: fn(Addresses) -> Holder) {
            let (folder, addresses) = (Folder::new(), Addresses::new());
            folder.write_settings(&addresses.to_settings());
            let _holder = hold(addresses);
            let mut node = folder.start();
            node.wait_for_event("waiting");
            node.signal(Signal::TERM);
            assert_eq!(node.wait_for_end().code(), Some(0));
            assert_eq!(node.last_line()["event"], "ended");
        }
    };
}

held_addresses! {
    callers: |addresses| Holder::tcp(addresses.callers);
    ready: |addresses| Holder::tcp(addresses.ready);
    metrics: |addresses| Holder::tcp(addresses.metrics);
    transfers: |addresses| Holder::tcp(addresses.peers);
    messages: |addresses| Holder::udp(addresses.peers);
}

// Guards against a node that ends because its predecessor still ends in order.
#[test]
fn a_node_waits_for_the_addresses_of_its_earlier_process() {
    let (folder, addresses) = (Folder::new(), Addresses::new());
    folder.write_settings(&addresses.to_settings());
    let mut earlier = folder.start();
    earlier.wait_until_serving(addresses);
    earlier.signal(Signal::TERM);
    let mut node = folder.start();
    node.wait_for_event("waiting");
    assert_eq!(earlier.wait_for_end().code(), Some(0));
    node.wait_until_serving(addresses);
}

// Guards against callers who find no node because operators' page has no address.
#[test]
fn a_node_serves_callers_while_the_metrics_address_is_in_use() {
    let (folder, addresses) = (Folder::new(), Addresses::new());
    folder.write_settings(&addresses.to_settings());
    let _holder = Holder::tcp(addresses.metrics);
    let mut node = folder.start();
    let is_served = || std::net::TcpStream::connect(addresses.callers).is_ok();
    wait_until("callers are served", || {
        assert!(node.is_running(), "ended: {}", node.text());
        is_served()
    });
}

macro_rules! incomplete_files {
    ($($name:ident: |$settings:pat_param| $cut:expr;)*) => {
        // Guards against a node that ends because its settings are being written.
        #[rstest]
        $(#[case::$name(|$settings: &str| $cut)])*
        fn a_node_waits_for_the_rest_of_its_settings(#[case] cut: fn(&str) -> Option<String>) {
            let (folder, addresses) = (Folder::new(), Addresses::new());
            let settings = addresses.to_settings();
            if let Some(part) = cut(&settings) {
                folder.write_settings(&part);
            }
            let mut node = folder.start();
            node.wait_for_event("waiting");
            folder.write_settings(&settings);
            node.wait_until_serving(addresses);
        }
    };
}

fn up_to(settings: &str, end: &str) -> Option<String> {
    settings
        .split_once(end)
        .map(|(part, _)| format!("{part}{end}"))
}

incomplete_files! {
    missing: |_| None;
    empty: |_| Some(String::new());
    without_tables: |settings| up_to(settings, "data_centre = \"a\"\n");
    within_a_text: |settings| up_to(settings, "ready = \"127");
    within_a_name: |settings| up_to(settings, "[peers]\naddr");
    within_an_array: |settings| up_to(settings, "seeds = [");
    within_optional_settings: |settings| up_to(settings, "request = \"X-Id\"\n");
    before_the_last_line_end: |settings| Some(settings.trim_end().to_owned());
}

// Guards against a limit on stacks that aborts a node.
#[rstest]
#[case::small_stacks("ulimit -s 64")]
#[case::few_descriptors("ulimit -n 40")]
fn a_node_starts_under_limits(#[case] limits: &str) {
    let (folder, addresses) = (Folder::new(), Addresses::new());
    folder.write_settings(&addresses.to_settings());
    let mut node = folder.start_limited(limits);
    node.wait_until_serving(addresses);
}

// Guards against a node that ends, or panics, because its host has no descriptor left for a moment.
#[rstest]
#[case::for_the_poller(4)]
#[case::for_the_pipe_of_signals(6)]
#[case::for_settings(9)]
fn a_node_waits_for_descriptors(#[case] descriptors: u64) {
    let (folder, addresses) = (Folder::new(), Addresses::new());
    folder.write_settings(&addresses.to_settings());
    let mut node = folder.start_limited(&format!("ulimit -S -n {descriptors}"));
    wait_until("the node waits", || {
        let is_waiting = node.text().contains("W5014");
        assert!(is_waiting || node.is_running(), "ended: {}", node.text());
        is_waiting
    });
    node.allow_descriptors(256);
    node.wait_until_serving(addresses);
}

//! TLS for QUIC. Both sides present a certificate signed by the common
//! authority.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use quinn::ClientConfig;
use quinn::Endpoint;
use quinn::EndpointConfig;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TokioRuntime;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;
use woadstage_config::settings::Identity;
use woadstage_startup::failure::Failure;
use woadstage_types::code::Code;

/// The ALPN protocol name.
const ALPN_PROTOCOL: &[u8] = b"woadstage";

/// The time without traffic after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of requests that one node may forward to another at once.
const MAX_FORWARDED_REQUESTS: u32 = 1_024;

/// The flow-control windows in bytes of a stream and a connection. They bound
/// the memory that a slow reader takes.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 2 << 20;

/// What a node needs to accept connections from other nodes and to dial them.
pub struct Config {
    server: ServerConfig,
    client: ClientConfig,
}

impl Config {
    /// Creates a configuration.
    ///
    /// # Errors
    /// Fails if the key or a certificate is invalid.
    pub fn new(identity: &Identity) -> Result<Config, Failure> {
        let config = Config::try_new(identity);
        config.map_err(|error| Failure::new(Code::SettingsValue, "identity", format!("{error:#}")))
    }

    fn try_new(identity: &Identity) -> anyhow::Result<Config> {
        let transport = Arc::new(transport()?);
        let mut server = ServerConfig::with_crypto(Arc::new(server(identity)?));
        server.transport_config(transport.clone());
        let mut client = ClientConfig::new(Arc::new(client(identity)?));
        client.transport_config(transport);
        Ok(Config { server, client })
    }

    /// Creates the endpoint that accepts connections and dials, with this socket.
    ///
    /// # Errors
    /// Fails if the host refuses an option of the socket.
    pub fn open(self, socket: UdpSocket) -> Result<Endpoint, Failure> {
        let server = Some(self.server);
        let runtime = Arc::new(TokioRuntime);
        let endpoint = Endpoint::new(EndpointConfig::default(), server, socket, runtime);
        let mut endpoint = endpoint.map_err(|error| Failure::refused("peers", &error))?;
        endpoint.set_default_client_config(self.client);
        Ok(endpoint)
    }
}

fn transport() -> anyhow::Result<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIMEOUT)?))
        .keep_alive_interval(Some(IDLE_TIMEOUT / 4))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_FORWARDED_REQUESTS))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(u64::from(CONNECTION_WINDOW_BYTES));
    Ok(transport)
}

struct Credentials {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

fn credentials(identity: &Identity) -> anyhow::Result<Credentials> {
    let read = |pem: &str| -> Result<Vec<_>, _> {
        CertificateDer::pem_slice_iter(pem.as_bytes()).collect()
    };
    let chain: Vec<CertificateDer<'static>> =
        read(&identity.certificate).context("identity.certificate is not PEM")?;
    let authority: Vec<CertificateDer<'static>> =
        read(&identity.authority).context("identity.authority is not PEM")?;
    let key = PrivateKeyDer::from_pem_slice(identity.key.as_bytes());
    let mut roots = RootCertStore::empty();
    for certificate in authority {
        roots
            .add(certificate)
            .context("identity.authority is not an authority")?;
    }
    Ok(Credentials {
        chain,
        key: key.context("identity.key is not PEM")?,
        roots: Arc::new(roots),
    })
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn server(identity: &Identity) -> anyhow::Result<QuicServerConfig> {
    let Credentials { chain, key, roots } = credentials(identity)?;
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider()).build()?;
    let mut config = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.into()];
    Ok(QuicServerConfig::try_from(config)?)
}

fn client(identity: &Identity) -> anyhow::Result<QuicClientConfig> {
    let Credentials { chain, key, roots } = credentials(identity)?;
    let mut config = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    config.alpn_protocols = vec![ALPN_PROTOCOL.into()];
    Ok(QuicClientConfig::try_from(config)?)
}

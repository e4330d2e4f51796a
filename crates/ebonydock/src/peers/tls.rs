//! Mutual TLS configuration for connections between VMs.

use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;

/// Server name in the certificate of every VM.
pub(crate) const PEER_SERVER_NAME: &str = "ebonydock";

const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_CONCURRENT_STREAMS: u32 = 4096;

/// Certificates and private key of a VM, in PEM.
#[derive(Clone, Debug)]
pub(crate) struct TlsIdentity {
    /// Certificate of the authority that signs the certificates of all VMs.
    pub(crate) authority: String,
    /// Certificate chain of the VM.
    pub(crate) certificate: String,
    /// Private key of the VM.
    pub(crate) private_key: String,
}

impl TlsIdentity {
    fn roots(&self) -> Result<Arc<RootCertStore>, String> {
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(self.authority.as_bytes()) {
            let certificate = certificate.map_err(|error| error.to_string())?;
            roots.add(certificate).map_err(|error| error.to_string())?;
        }
        Ok(Arc::new(roots))
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>, String> {
        CertificateDer::pem_slice_iter(self.certificate.as_bytes())
            .collect::<Result<_, _>>()
            .map_err(|error| error.to_string())
    }

    fn key(&self) -> Result<PrivateKeyDer<'static>, String> {
        PrivateKeyDer::from_pem_slice(self.private_key.as_bytes())
            .map_err(|error| error.to_string())
    }

    /// Returns the configuration for connections from other VMs.
    pub(crate) fn server_config(&self) -> Result<quinn::ServerConfig, String> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots()?, Arc::clone(&provider))
                .build()
                .map_err(|error| error.to_string())?;
        let config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| error.to_string())?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain()?, self.key()?)
            .map_err(|error| error.to_string())?;
        let config = QuicServerConfig::try_from(config).map_err(|error| error.to_string())?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(config));
        config.transport_config(Arc::new(transport_config()));
        Ok(config)
    }

    /// Returns the configuration for connections to other VMs.
    pub(crate) fn client_config(&self) -> Result<quinn::ClientConfig, String> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| error.to_string())?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain()?, self.key()?)
            .map_err(|error| error.to_string())?;
        let config = QuicClientConfig::try_from(config).map_err(|error| error.to_string())?;
        let mut config = quinn::ClientConfig::new(Arc::new(config));
        config.transport_config(Arc::new(transport_config()));
        Ok(config)
    }
}

fn transport_config() -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    config.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    config.max_concurrent_bidi_streams(MAX_CONCURRENT_STREAMS.into());
    config.initial_rtt(Duration::from_millis(20));
    config
}

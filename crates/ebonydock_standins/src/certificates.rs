//! Generates TLS certificates for the messages between VMs.

use std::io;
use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// Paths of the PEM files that [`make_certificates`] writes.
#[derive(Clone, Debug)]
pub struct PeerCertificates {
    /// Certificate of the authority.
    pub authority: PathBuf,
    /// Certificate that all VMs of a site share.
    pub certificate: PathBuf,
    /// Private key of the shared certificate.
    pub private_key: PathBuf,
}

/// Generates an authority and a certificate for the server name that VMs expect, and writes them into
/// `folder`, which is created if needed.
pub fn make_certificates(folder: &Path) -> io::Result<PeerCertificates> {
    let to_io_error = |error: rcgen::Error| io::Error::other(error.to_string());
    let mut params = CertificateParams::new(Vec::new()).map_err(to_io_error)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_key = KeyPair::generate().map_err(to_io_error)?;
    let authority = params.self_signed(&authority_key).map_err(to_io_error)?;
    let issuer = Issuer::new(params, authority_key);
    let params = CertificateParams::new(vec!["ebonydock".to_owned()]).map_err(to_io_error)?;
    let key = KeyPair::generate().map_err(to_io_error)?;
    let certificate = params.signed_by(&key, &issuer).map_err(to_io_error)?;
    std::fs::create_dir_all(folder)?;
    let files = PeerCertificates {
        authority: folder.join("authority.pem"),
        certificate: folder.join("vm.pem"),
        private_key: folder.join("vm.key"),
    };
    std::fs::write(&files.authority, authority.pem())?;
    std::fs::write(&files.certificate, certificate.pem())?;
    std::fs::write(&files.private_key, key.serialize_pem())?;
    Ok(files)
}

//! A development certificate authority.
//!
//! Production fleets use certificates from their own authority. For development and tests, this
//! module creates an authority and one certificate per VM. Each certificate is valid for both
//! client and server and for exactly one [`name`].

use briarshift_units::{FleetId, VmId};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::{Error, name};

/// A certificate and its private key, both in PEM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CertifiedKey {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// A certificate authority that signs the certificates of one fleet.
pub struct Authority {
    fleet: FleetId,
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority with a new key.
    ///
    /// # Errors
    ///
    /// [`Error::Name`] if the fleet id is not a DNS label, [`Error::Certificate`] if the key or
    /// the certificate can't be created.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_peer::keys::Authority;
    /// let authority = Authority::generate("linen".parse().unwrap()).unwrap();
    /// let pair = authority.issue(&"aarau-1".parse().unwrap()).unwrap();
    /// assert!(pair.certificate.starts_with("-----BEGIN CERTIFICATE-----"));
    /// ```
    pub fn generate(fleet: FleetId) -> Result<Self, Error> {
        let key = KeyPair::generate().map_err(unusable)?;
        Self::with_key(fleet, key)
    }

    /// Loads an existing authority to issue more certificates.
    ///
    /// # Errors
    ///
    /// [`Error::Certificate`] if the private key is not PEM or its algorithm is not supported.
    pub fn load(fleet: FleetId, authority: &CertifiedKey) -> Result<Self, Error> {
        let key = KeyPair::from_pem(&authority.key).map_err(unusable)?;
        Ok(Self { certificate: authority.certificate.clone(), ..Self::with_key(fleet, key)? })
    }

    fn with_key(fleet: FleetId, key: KeyPair) -> Result<Self, Error> {
        let probe = "a".parse().expect("a letter is an id");
        name::for_vm(&probe, &fleet)?;
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.distinguished_name.push(DnType::CommonName, format!("{fleet} development CA"));
        let certificate = params.self_signed(&key).map_err(unusable)?.pem();
        Ok(Self { fleet, certificate, issuer: Issuer::new(params, key) })
    }

    /// Returns the authority's own certificate and key.
    pub fn certified_key(&self) -> CertifiedKey {
        CertifiedKey {
            certificate: self.certificate.clone(),
            key: self.issuer.key().serialize_pem(),
        }
    }

    /// Issues a certificate with a new key for a VM.
    ///
    /// # Errors
    ///
    /// [`Error::Name`] if the VM id is not a DNS label, [`Error::Certificate`] if the key or the
    /// certificate can't be created.
    pub fn issue(&self, vm: &VmId) -> Result<CertifiedKey, Error> {
        let full = name::for_vm(vm, &self.fleet)?;
        let key = KeyPair::generate().map_err(unusable)?;
        let mut params = CertificateParams::new(vec![full]).map_err(unusable)?;
        params.distinguished_name.push(DnType::CommonName, vm.to_string());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &self.issuer).map_err(unusable)?;
        Ok(CertifiedKey { certificate: certificate.pem(), key: key.serialize_pem() })
    }
}

#[expect(clippy::needless_pass_by_value, reason = "given to map_err")]
fn unusable(err: rcgen::Error) -> Error {
    Error::Certificate(err.to_string())
}

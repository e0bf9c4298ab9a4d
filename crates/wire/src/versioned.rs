//! Encoding of standalone messages: a version byte and the postcard encoding.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

pub(crate) fn encode(version: u8, message: &impl Serialize) -> Result<Vec<u8>, Error> {
    postcard::to_extend(message, vec![version]).map_err(|err| Error::Malformed(err.to_string()))
}

pub(crate) fn decode<T: DeserializeOwned>(version: u8, bytes: &[u8]) -> Result<T, Error> {
    let (&first, body) = bytes.split_first().ok_or(Error::Empty)?;
    if first != version {
        return Err(Error::Version(first));
    }
    postcard::from_bytes(body).map_err(|err| Error::Malformed(err.to_string()))
}

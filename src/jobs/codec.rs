//! MessagePack encoding of records and messages, and of what they gain in later versions.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

/// A stored record could not be decoded.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("step=decode_record key={key}: {source}"))]
pub struct RecordError {
    key: String,
    source: rmp_serde::decode::Error,
}

/// A record could not be encoded for the store.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("step=encode_record: {source}"))]
pub struct EncodeError {
    source: rmp_serde::encode::Error,
}

/// Encodes a record as MessagePack.
///
/// # Errors
///
/// Fails if the encoder fails; no record of this module makes it fail.
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>, EncodeError> {
    rmp_serde::to_vec(record).context(EncodeSnafu)
}

/// Encodes a record and, after it, fields that it gained in a later version.
///
/// Entry VMs of earlier versions decode the record and ignore what follows it. They would
/// reject a record with further fields.
///
/// # Errors
///
/// Fails if the encoder fails.
pub fn encode_with<T: Serialize, E: Serialize>(
    record: &T,
    extension: &E,
) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = encode(record)?;
    bytes.extend(encode(extension)?);
    Ok(bytes)
}

/// Decodes a record that [`encode_with`] or [`encode`] has encoded; the extension is none
/// if the record has none. The key only names the record in the error.
///
/// # Errors
///
/// Fails if `bytes` does not start with a `T`, or an `E` does not follow it.
pub fn decode_with<T: DeserializeOwned, E: DeserializeOwned>(
    key: &str,
    mut bytes: &[u8],
) -> Result<(T, Option<E>), RecordError> {
    read_with(key, &mut bytes)
}

/// Like [`decode_with`]; `bytes` are left at what follows.
///
/// # Errors
///
/// Fails like [`decode_with`].
pub fn read_with<T: DeserializeOwned, E: DeserializeOwned>(
    key: &str,
    bytes: &mut &[u8],
) -> Result<(T, Option<E>), RecordError> {
    let record = rmp_serde::from_read(&mut *bytes).context(RecordSnafu { key })?;
    if bytes.is_empty() {
        return Ok((record, None));
    }
    let extension = rmp_serde::from_read(bytes).context(RecordSnafu { key })?;
    Ok((record, Some(extension)))
}

/// Decodes what follows a record; none if nothing does.
///
/// # Errors
///
/// Fails if `bytes` is neither empty nor starts with the MessagePack form of a `T`.
pub fn decode_rest<T: DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<Option<T>, RecordError> {
    if bytes.is_empty() {
        return Ok(None);
    }
    rmp_serde::from_read(bytes)
        .map(Some)
        .context(RecordSnafu { key })
}

/// Decodes the record that is stored under `key`; the key only names it in the error.
///
/// # Errors
///
/// Fails if `bytes` is not the MessagePack form of a `T`.
pub fn decode<'a, T: Deserialize<'a>>(key: &str, bytes: &'a [u8]) -> Result<T, RecordError> {
    rmp_serde::from_slice(bytes).context(RecordSnafu { key })
}

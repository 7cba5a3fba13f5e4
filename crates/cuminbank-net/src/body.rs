//! Reading of HTTP bodies into one buffer of bounded size.
//!
//! The decoder of the HTTP library keeps each chunk as an item of its own, which takes about 50 bytes
//! for a chunk of one byte, and checks no limit before a body is complete.

use bytes::{Buf, Bytes, BytesMut};
use http::{header, HeaderMap};
use monoio::{buf::IoBufMut, io::AsyncReadRent};
use monoio_codec::{Decoded, Decoder, FramedRead};

use crate::input_budget::{InputAccount, FREE_BYTES};

/// Size to which the buffer of a body first grows beyond [`FREE_BYTES`].
const FIRST_GROWTH: usize = 64 * 1024;
/// Maximum length of the size of a chunk, in hexadecimal digits.
const MAX_SIZE_DIGITS: usize = 16;

/// How a head says where its body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFraming {
    /// After this many bytes.
    Length(usize),
    /// After the last chunk.
    Chunked,
}

impl BodyFraming {
    /// Returns the framing; `None` if the headers are invalid. A head without any has no body.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Option<Self> {
        if let Some(encoding) = headers.get(header::TRANSFER_ENCODING) {
            if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                return Some(Self::Chunked);
            }
            if !encoding.as_bytes().eq_ignore_ascii_case(b"identity") {
                return None;
            }
        }
        let Some(length) = headers.get(header::CONTENT_LENGTH) else {
            return Some(Self::Length(0));
        };
        let length = length.to_str().ok().filter(|text| !text.starts_with('+'))?;
        length.parse().ok().map(Self::Length)
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It is malformed, or ended too early.
    Malformed,
    /// The account got no memory for it.
    NoMemory,
}

/// Reads a body of at most `limit` bytes. `account` already holds `base` bytes for its head.
pub(crate) async fn read_body<IO, D>(
    framed: &mut FramedRead<IO, D>,
    framing: BodyFraming,
    limit: usize,
    account: &impl InputAccount,
    base: usize,
) -> Result<Bytes, BodyError>
where
    IO: AsyncReadRent,
{
    match framing {
        BodyFraming::Length(0) => Ok(Bytes::new()),
        BodyFraming::Length(length) if length > limit => Err(BodyError::TooLarge),
        BodyFraming::Length(length) => read_known(framed, length, account, base).await,
        BodyFraming::Chunked => read_chunks(framed, limit, account, base).await,
    }
}

async fn read_known<IO: AsyncReadRent, D>(
    framed: &mut FramedRead<IO, D>,
    length: usize,
    account: &impl InputAccount,
    base: usize,
) -> Result<Bytes, BodyError> {
    if length <= FREE_BYTES || framed.read_buffer().len() >= length {
        let body = framed.next_with(&mut KnownBody(length)).await;
        return body.and_then(Result::ok).ok_or(BodyError::Malformed);
    }
    let mut body = Vec::new();
    while body.len() < length {
        if body.len() == body.capacity() {
            let present = body.len() + framed.read_buffer().len();
            let size = present.saturating_mul(2).max(FIRST_GROWTH).min(length);
            grow(&mut body, size, account, base).await?;
        }
        let room = body.len()..body.capacity().min(length);
        let (result, filled) = framed.read(body.slice_mut(room)).await;
        body = filled.into_inner();
        if !result.is_ok_and(|count| count > 0) {
            return Err(BodyError::Malformed);
        }
    }
    Ok(Bytes::from(body))
}

async fn read_chunks<IO: AsyncReadRent, D>(
    framed: &mut FramedRead<IO, D>,
    limit: usize,
    account: &impl InputAccount,
    base: usize,
) -> Result<Bytes, BodyError> {
    let mut decoder = ChunkDecoder { body: Vec::new(), limit, state: ChunkState::Size };
    loop {
        match framed.next_with(&mut decoder).await {
            Some(Ok(ChunkStep::End)) => return Ok(Bytes::from(decoder.body)),
            Some(Ok(ChunkStep::Full { needed })) => {
                let size = next_size(decoder.body.capacity().max(needed), limit);
                grow(&mut decoder.body, size, account, base).await?;
            }
            Some(Err(ChunkFault::TooLarge)) => return Err(BodyError::TooLarge),
            Some(Err(ChunkFault::Malformed | ChunkFault::Broken)) | None => {
                return Err(BodyError::Malformed);
            }
        }
    }
}

/// Returns the next size of a buffer of `size` bytes for a chunked body of at most `limit`.
fn next_size(size: usize, limit: usize) -> usize {
    let grown = match size {
        0..FREE_BYTES => FREE_BYTES,
        FREE_BYTES..FIRST_GROWTH => FIRST_GROWTH,
        _ => size.saturating_mul(2),
    };
    grown.min(limit)
}

/// Grows a buffer to `size` bytes, of which the first [`FREE_BYTES`] are not counted.
async fn grow(
    body: &mut Vec<u8>,
    size: usize,
    account: &impl InputAccount,
    base: usize,
) -> Result<(), BodyError> {
    if size > FREE_BYTES && !account.reserve(base.saturating_add(size)).await {
        return Err(BodyError::NoMemory);
    }
    body.reserve_exact(size - body.len());
    Ok(())
}

/// Decoder of a body of known length that fits into the buffer of the connection.
struct KnownBody(usize);

impl Decoder for KnownBody {
    type Item = Bytes;
    type Error = std::io::Error;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Decoded<Bytes>, Self::Error> {
        match input.len() < self.0 {
            true => Ok(Decoded::Insufficient),
            false => Ok(Decoded::Some(input.split_to(self.0).freeze())),
        }
    }
}

/// Decoder that appends the data of chunks to one buffer, without growing it. Chunk extensions and
/// trailers are malformed, as for the decoder of the HTTP library.
struct ChunkDecoder {
    body: Vec<u8>,
    limit: usize,
    state: ChunkState,
}

#[derive(Clone, Copy)]
enum ChunkState {
    /// The size of a chunk comes next.
    Size,
    /// This much data of a chunk comes next, and then the end of the line.
    Data(usize),
    /// The end of the line after the last chunk comes next.
    End,
}

enum ChunkStep {
    /// The buffer is full; with the present chunk the body has `needed` bytes.
    Full { needed: usize },
    /// The body is complete.
    End,
}

enum ChunkFault {
    TooLarge,
    Malformed,
    /// The connection failed.
    Broken,
}

impl From<std::io::Error> for ChunkFault {
    fn from(_: std::io::Error) -> Self {
        Self::Broken
    }
}

impl Decoder for ChunkDecoder {
    type Item = ChunkStep;
    type Error = ChunkFault;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Decoded<ChunkStep>, ChunkFault> {
        loop {
            match self.state {
                ChunkState::Size => {
                    let Some(size) = take_size(input)? else { return Ok(Decoded::Insufficient) };
                    if size > self.limit - self.body.len() {
                        return Err(ChunkFault::TooLarge);
                    }
                    self.state = match size {
                        0 => ChunkState::End,
                        size => ChunkState::Data(size),
                    };
                }
                ChunkState::Data(0) => {
                    if !take_line_end(input)? {
                        return Ok(Decoded::Insufficient);
                    }
                    self.state = ChunkState::Size;
                }
                ChunkState::Data(left) => {
                    if input.is_empty() {
                        return Ok(Decoded::Insufficient);
                    }
                    let room = self.body.capacity() - self.body.len();
                    if room == 0 {
                        let needed = self.body.len() + left.min(input.len());
                        return Ok(Decoded::Some(ChunkStep::Full { needed }));
                    }
                    let size = left.min(input.len()).min(room);
                    self.body.extend_from_slice(&input[..size]);
                    input.advance(size);
                    self.state = ChunkState::Data(left - size);
                }
                ChunkState::End => {
                    return match take_line_end(input)? {
                        true => Ok(Decoded::Some(ChunkStep::End)),
                        false => Ok(Decoded::Insufficient),
                    };
                }
            }
        }
    }
}

/// Takes the size of a chunk and the end of its line; `None` if they have not arrived.
fn take_size(input: &mut BytesMut) -> Result<Option<usize>, ChunkFault> {
    let digits = input.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    if digits > MAX_SIZE_DIGITS {
        return Err(ChunkFault::TooLarge);
    }
    match &input[digits..] {
        [] | [b'\r'] => return Ok(None),
        [b'\r', b'\n', ..] if digits > 0 => {}
        _ => return Err(ChunkFault::Malformed),
    }
    let text = std::str::from_utf8(&input[..digits]).map_err(|_| ChunkFault::Malformed)?;
    let size = usize::from_str_radix(text, 16).map_err(|_| ChunkFault::TooLarge)?;
    input.advance(digits + 2);
    Ok(Some(size))
}

/// Takes the end of a line; false if it has not arrived.
fn take_line_end(input: &mut BytesMut) -> Result<bool, ChunkFault> {
    match &input[..] {
        [] | [b'\r'] => Ok(false),
        [b'\r', b'\n', ..] => {
            input.advance(2);
            Ok(true)
        }
        _ => Err(ChunkFault::Malformed),
    }
}

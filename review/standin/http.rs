//! The little of HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::BufRead;

/// The head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The request line or status line.
    pub first: String,
    /// The fields, with names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head. Returns `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            head.fields.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a chunked body. Returns `None` at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Reads a whole body with a length or in chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.field("transfer-encoding").is_some() {
        let mut body = Vec::new();
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
        return Ok(body);
    }
    let length = head
        .field("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Returns a parameter of a query.
pub fn parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

/// Returns a checksum of a body (FNV-1a).
pub fn checksum(body: &[u8]) -> u64 {
    body.iter().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

//! Draws inputs: arbitrary bytes, and valid inputs that were damaged.

use arbtest::arbitrary::{Result, Unstructured};

/// The most damages of one input.
const MAX_DAMAGES: u32 = 5;
/// The most levels of nested brackets; a decoder that recurses without limit overflows its stack.
const MAX_DEPTH: usize = 60_000;
/// Texts that replace a number.
const NUMBERS: [&str; 14] = [
    "0",
    "-1",
    "1e400",
    "1e308",
    "1e22",
    "1.8446744073709552e19",
    "18446744073709551615",
    "18446744073709551616",
    "4294967295",
    "4294967296",
    "65536",
    "-0.0",
    "null",
    "\"1\"",
];
/// Brackets that open a level.
const OPENINGS: [&str; 4] = ["[", "{\"a\":", "[{\"a\":", "{\"version\":"];
/// Bytes with a meaning in one of the formats.
const SPECIAL: &[u8] = b"\r\n:,;\"\\{}[]/*# \t\0\x7f\xff\xef\xbb\xbf";

/// Draws arbitrary bytes or a damaged copy of a valid input.
pub(super) fn draw(u: &mut Unstructured<'_>, valid: &[u8]) -> Result<Vec<u8>> {
    if u.ratio(1, 8)? {
        return u.arbitrary();
    }
    let mut data = valid.to_vec();
    for _ in 0..u.int_in_range(0..=MAX_DAMAGES)? {
        damage(u, &mut data)?;
    }
    Ok(data)
}

/// Draws a text that is arbitrary or damaged.
pub(super) fn draw_text(u: &mut Unstructured<'_>, valid: &str) -> Result<String> {
    Ok(String::from_utf8_lossy(&draw(u, valid.as_bytes())?).into_owned())
}

fn damage(u: &mut Unstructured<'_>, data: &mut Vec<u8>) -> Result<()> {
    if data.is_empty() {
        data.push(u.arbitrary()?);
        return Ok(());
    }
    let at = u.choose_index(data.len())?;
    match u.int_in_range(0..=9)? {
        0 => data[at] = u.arbitrary()?,
        1 => data[at] = *u.choose(SPECIAL)?,
        2 => data.insert(at, *u.choose(SPECIAL)?),
        3 => data.truncate(at),
        4 => drop(data.drain(at..range_end(u, data, at)?)),
        5 => double(u, data, at)?,
        6 => change_length(u, data, at)?,
        7 | 8 => change_number(u, data, at)?,
        _ if u.ratio(1, 4)? => nest(u, data, at)?,
        _ => data[at] ^= 1 << u.int_in_range(0..=7)?,
    }
    Ok(())
}

fn range_end(u: &mut Unstructured<'_>, data: &[u8], at: usize) -> Result<usize> {
    u.int_in_range(at..=data.len().min(at + 200))
}

fn double(u: &mut Unstructured<'_>, data: &mut Vec<u8>, at: usize) -> Result<()> {
    let part = data[at..range_end(u, data, at)?].to_vec();
    let to = u.int_in_range(0..=data.len())?;
    drop(data.splice(to..to, part));
    Ok(())
}

/// Overwrites what may be a binary length or offset.
fn change_length(u: &mut Unstructured<'_>, data: &mut [u8], at: usize) -> Result<()> {
    let width = *u.choose(&[1, 2, 4, 8])?;
    let value = *u.choose(&[0x00, 0x01, 0x7f, 0x80, 0xff])?;
    for byte in data.iter_mut().skip(at).take(width) {
        *byte = value;
    }
    Ok(())
}

/// Replaces the first number at or after a place.
fn change_number(u: &mut Unstructured<'_>, data: &mut Vec<u8>, at: usize) -> Result<()> {
    let Some(skip) = data[at..].iter().position(u8::is_ascii_digit) else { return Ok(()) };
    let start = at + skip;
    let len = data[start..].iter().take_while(|b| b.is_ascii_digit() || **b == b'.').count();
    let number = *u.choose(&NUMBERS)?;
    drop(data.splice(start..start + len, number.bytes()));
    Ok(())
}

fn nest(u: &mut Unstructured<'_>, data: &mut Vec<u8>, at: usize) -> Result<()> {
    let levels = u.int_in_range(1..=MAX_DEPTH)?;
    let opening = u.choose(&OPENINGS)?.repeat(levels);
    drop(data.splice(at..at, opening.bytes()));
    Ok(())
}

//! Rendezvous hashing: hosts with the same list of hosts select the same owner of a role.

/// Returns the 64-bit FNV-1a hash of a sequence of byte strings, with a final avalanche step.
pub fn hash(parts: &[&[u8]]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut state = OFFSET;
    for part in parts {
        for byte in *part {
            state = (state ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
        // Separates the parts, so that ("ab", "c") and ("a", "bc") have different hashes.
        state = (state ^ 0xff).wrapping_mul(PRIME);
    }
    avalanche(state)
}

/// Mixes every input bit into the whole output (the finalizer of SplitMix64).
fn avalanche(mut state: u64) -> u64 {
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

/// Returns the owner of a role among the hosts, or `None` without hosts.
pub fn owner<'a>(role: &str, hosts: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    hosts.into_iter().max_by_key(|host| (hash(&[role.as_bytes(), host.as_bytes()]), *host))
}

/// Returns the first `count` owners of a role, best first.
pub fn owners<'a>(
    role: &str,
    hosts: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<_> =
        hosts.into_iter().map(|host| (hash(&[role.as_bytes(), host.as_bytes()]), host)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, host)| host).collect()
}

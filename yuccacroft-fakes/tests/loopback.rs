//! Tests of the addresses of test processes.

use {std::collections::BTreeSet, yuccacroft_fakes::loopback::Addresses};

/// Guards against tests that run at the same time and take each other's addresses.
#[test]
fn allocators_share_no_address() {
    let allocators: Vec<_> = (0..300).map(|_| Addresses::new().unwrap()).collect();
    let addresses = allocators.iter().flat_map(|allocator| (0..3).map(|_| allocator.allocate()));
    assert_eq!(addresses.collect::<BTreeSet<_>>().len(), 900);
}

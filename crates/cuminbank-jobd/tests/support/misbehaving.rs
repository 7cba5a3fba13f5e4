//! Seeded clients that hold memory and connections of the instances, beside the clients of a soak.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use cuminbank_net::process_memory::ProcessMemory;
use rand::{rngs::StdRng, Rng, SeedableRng};

use super::{
    flood::{Flood, FloodInput},
    Deployment,
};

/// Floods ports with unfinished or excessive input until `stop` is set, one port at a time.
pub fn flood_ports(clients: &[SocketAddr], seed: u64, stop: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed);
    let body = "x".repeat(200_000);
    let announced = format!(
        "POST /p/00000000000000ee HTTP/1.1\r\nhost: plans.example\r\ncontent-length: 200001\r\n\r\n{body}"
    );
    let status = "GET /v1/status HTTP/1.1\r\nhost: plans.example\r\n\r\n";
    while !stop.load(Ordering::Relaxed) {
        let client = clients[random.random_range(0..clients.len())];
        // Clients, readiness, instances, operators.
        let offset = random.random_range(0..4_u16);
        let address = SocketAddr::new(client.ip(), client.port() + offset);
        let input = match (offset, random.random_range(0..3)) {
            (2, _) => FloodInput::repeated_message(1_000),
            (_, 0) => FloodInput::behind_request(&announced),
            (_, 1) => FloodInput::behind_request(status),
            _ => FloodInput::repeated_request(status),
        };
        let count = random.random_range(10..120);
        let _flood = Flood::send(&[(address, input)], count);
        thread::sleep(Duration::from_millis(random.random_range(50..1_500)));
    }
}

/// Returns the instances that hold more memory than `memory_mb`.
pub fn find_excess(deployment: &mut Deployment, memory_mb: u64) -> Vec<String> {
    let mut found = Vec::new();
    for (number, process) in deployment.instances.iter_mut().enumerate() {
        // A process that ends meanwhile holds nothing.
        let Ok(memory) = ProcessMemory::read(process.pid()) else { continue };
        if memory.total() > memory_mb * 1_000_000 {
            found.push(format!("instance {number}: {memory:?}"));
        }
    }
    found
}

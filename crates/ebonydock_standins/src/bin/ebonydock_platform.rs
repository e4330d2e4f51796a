//! Runs the platform stand-in: `ebonydock_platform IP:PORT`.

use std::time::Duration;

use ebonydock_standins::PlatformStandIn;

fn main() -> std::io::Result<()> {
    let address = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let address = address.parse().map_err(std::io::Error::other)?;
    let platform = PlatformStandIn::spawn(address, Duration::from_secs(1))?;
    println!("{}", platform.address());
    loop {
        std::thread::park();
    }
}

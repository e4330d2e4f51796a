//! Runs the service stand-in: `ebonydock_service IP:PORT`.

use ebonydock_standins::ServiceStandIn;

fn main() -> std::io::Result<()> {
    let address = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let address = address.parse().map_err(std::io::Error::other)?;
    let service = ServiceStandIn::spawn(address)?;
    println!("{}", service.address());
    loop {
        std::thread::park();
    }
}

//! Runs the engine stand-in: `ebonydock_engine IP:PORT [SHAPE-AS-JSON]`.

use ebonydock_standins::{EngineShape, EngineStandIn};

fn main() -> std::io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let address = arguments.next().unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let address = address.parse().map_err(std::io::Error::other)?;
    let shape = match arguments.next() {
        Some(text) => serde_json::from_str(&text).map_err(std::io::Error::other)?,
        None => EngineShape::default(),
    };
    let engine = EngineStandIn::spawn(address, shape)?;
    println!("{}", engine.address());
    loop {
        std::thread::park();
    }
}

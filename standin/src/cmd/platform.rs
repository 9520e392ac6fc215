//! Subcommand `standin platform`.

use std::io;
use std::net::SocketAddr;

use bpaf::Bpaf;

#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct PlatformOptions {
    /// Where it listens.
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
}

pub async fn run(options: PlatformOptions) -> io::Result<bool> {
    let platform = standin::platform::start(options.listen).await?;
    println!("listen={}", platform.server.address);
    platform.server.wait().await;
    Ok(true)
}

//! Subcommand `standin backend`.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use standin::backend::BackendSettings;

#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct BackendOptions {
    /// Where it listens.
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Name of its VM.
    #[bpaf(argument("NAME"))]
    vm: String,
    /// Data centre of its VM.
    #[bpaf(argument("NAME"), fallback("dc-1".to_owned()))]
    dc: String,
    /// Rack of its VM.
    #[bpaf(argument("NAME"), fallback("rack-1".to_owned()))]
    rack: String,
    /// Requests that it runs at once.
    #[bpaf(argument("N"), fallback(8))]
    slots: u32,
    /// Service time of a request that states none, in microseconds.
    #[bpaf(argument("US"), fallback(5000))]
    service_us: u64,
    /// Platform at which it registers.
    #[bpaf(argument("ADDR"), optional)]
    platform: Option<SocketAddr>,
}

pub async fn run(options: BackendOptions) -> io::Result<bool> {
    let backend = standin::backend::start(BackendSettings {
        listen: options.listen,
        vm: options.vm,
        dc: options.dc,
        rack: options.rack,
        slots: options.slots,
        service: Duration::from_micros(options.service_us),
        platform: options.platform,
    });
    let backend = backend.await?;
    println!("listen={}", backend.server.address);
    backend.server.wait().await;
    Ok(true)
}

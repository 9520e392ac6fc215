//! Subcommand `standin demo`.

use std::io;

use bpaf::Bpaf;
use standin::deployment::DeploymentShape;

#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct DemoOptions {
    /// Shape: evasapu or nilebench.
    #[bpaf(argument::<String>("NAME"), parse(parse_shape), fallback(standin::deployment::EVASAPU))]
    deployment: DeploymentShape,
}

fn parse_shape(name: String) -> Result<DeploymentShape, String> {
    let shape = DeploymentShape::find(&name);
    shape.ok_or_else(|| format!("unknown deployment {name}; accepted: evasapu, nilebench"))
}

pub async fn run(options: DemoOptions) -> io::Result<bool> {
    standin::demo::run(&options.deployment).await
}

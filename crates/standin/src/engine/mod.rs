//! A model engine with request slots, a bounded prefix cache, cache events, load reports and streamed answers.

mod cache;
mod faults;
mod feed;
mod orders;
mod request;
mod server;
mod settings;
mod slots;
mod state;
mod stream;
mod text;

pub use cache::PrefixCache;
pub use faults::{AnswerFault, EngineFaults};
pub use orders::LoadedModel;
pub use server::EngineServer;
pub use settings::EngineSettings;
pub use state::EngineWork;
pub use text::{answer_text, token_text};

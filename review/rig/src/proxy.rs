//! A TCP proxy whose behaviour a scenario changes while it runs.

use salvo::http::StatusCode;
use salvo::prelude::*;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const POLL: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    Pass,
    /// Nothing is forwarded in either direction; it is held back until the mode changes.
    Hold,
    /// What the client sends is forwarded, what the server sends is held back.
    HoldAnswers,
    /// What the server sends is lost.
    LoseAnswers,
    /// Requests get 503, as if the server refused this client alone.
    Refuse,
}

struct State {
    mode: Mode,
    /// Raised with each change of the mode that ends the open connections.
    epoch: u64,
}

#[derive(Clone)]
pub struct Proxy {
    pub address: String,
    state: Arc<Mutex<State>>,
}

#[handler]
async fn refuse(res: &mut Response) {
    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
    res.render(Json(serde_json::json!({ "error": "trouble" })));
}

impl Proxy {
    pub async fn start(target: &str) -> Self {
        let refuser = crate::machines::serve(Router::with_path("{**rest}").goal(refuse)).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let state = Arc::new(Mutex::new(State { mode: Mode::Pass, epoch: 0 }));
        let proxy = Self { address, state };
        let (accepting, target) = (proxy.clone(), target.to_owned());
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let (proxy, target, refuser) = (accepting.clone(), target.clone(), refuser.clone());
                tokio::spawn(async move { proxy.serve(client, &target, &refuser).await });
            }
        });
        proxy
    }

    fn read(&self) -> (Mode, u64) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.mode, state.epoch)
    }

    /// Changes the mode. The open connections end if one of the modes refuses requests or loses answers.
    pub fn set(&self, mode: Mode) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let ends = |mode: Mode| matches!(mode, Mode::Refuse | Mode::LoseAnswers);
        if state.mode != mode && (ends(mode) || ends(state.mode)) {
            state.epoch += 1;
        }
        state.mode = mode;
    }

    /// Ends all open connections.
    pub fn reset(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).epoch += 1;
    }

    async fn serve(&self, client: TcpStream, target: &str, refuser: &str) {
        while self.read().0 == Mode::Hold {
            tokio::time::sleep(POLL).await;
        }
        let (mode, epoch) = self.read();
        let address = if mode == Mode::Refuse { refuser } else { target };
        let Ok(server) = TcpStream::connect(address).await else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::select! {
            () = self.pump(client_read, server_write, false) => {}
            () = self.pump(server_read, client_write, true) => {}
            () = self.ended(epoch) => {}
        }
    }

    async fn ended(&self, epoch: u64) {
        while self.read().1 == epoch {
            tokio::time::sleep(POLL).await;
        }
    }

    async fn pump(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, answers: bool) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let Ok(count) = from.read(&mut buffer).await else { return };
            if count == 0 {
                return;
            }
            loop {
                let mode = self.read().0;
                let held = mode == Mode::Hold || answers && mode == Mode::HoldAnswers;
                if !held {
                    break;
                }
                tokio::time::sleep(POLL).await;
            }
            if answers && self.read().0 == Mode::LoseAnswers {
                continue;
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }
}

use hookway_wire::{Cause, CheckIn, CheckInAnswer, DirectOrders, Order, PieceReport, PieceState};

/// A worker that carries out commands as the protocol says, and whose tasks change state when the
/// test says so. It counts what must never happen.
#[derive(Debug, Clone)]
pub struct ScriptedWorker {
    report: CheckIn,
    /// Highest token seen.
    pub baton: u64,
    /// Starts that were carried out, as task and attempt.
    pub started: Vec<(String, u64)>,
}

impl ScriptedWorker {
    /// A new worker.
    pub fn new(host: &str, flavor: &str, yard: &str) -> Self {
        let report = CheckIn {
            host: host.into(),
            addr: "127.0.0.1:9000".into(),
            flavor: flavor.into(),
            yard: yard.into(),
            loaners: false,
            tenure: 1,
            tick: 0,
            baton: 0,
            eviction_s: None,
            pieces: vec![],
        };
        Self { report, baton: 0, started: vec![] }
    }

    /// Its zone.
    pub fn zone(&self) -> &str {
        &self.report.yard
    }

    /// Its session.
    pub fn session(&self) -> u64 {
        self.report.tenure
    }

    /// Its next report.
    pub fn report(&mut self) -> CheckIn {
        self.report.tick += 1;
        self.report.baton = self.baton;
        self.report.clone()
    }

    /// The cloud announces that it takes the machine.
    pub fn notice(&mut self, seconds: f64) {
        self.report.eviction_s = Some(seconds);
    }

    /// Takes an answer; `false` if it had to be dropped for its token.
    pub fn take(&mut self, answer: &CheckInAnswer) -> bool {
        if answer.baton < self.baton {
            return false;
        }
        self.baton = answer.baton;
        for order in &answer.orders {
            match order {
                Order::Run { piece, r#try } => {
                    if self.find(piece, *r#try).is_none() {
                        self.started.push((piece.clone(), *r#try));
                        self.report.pieces.push(PieceReport {
                            piece: piece.clone(),
                            r#try: *r#try,
                            status: PieceState::Running,
                            cause: None,
                            saved: None,
                        });
                    }
                }
                Order::Kill { piece, r#try, .. } => {
                    if let Some(i) = self.find(piece, *r#try)
                        && self.report.pieces[i].status != PieceState::Ended
                    {
                        self.end_at(i, Cause::Stopped);
                    }
                }
                Order::Reap { piece, r#try } => {
                    self.report.pieces.retain(|p| {
                        !(p.piece == *piece && p.r#try == *r#try && p.status == PieceState::Ended)
                    });
                }
            }
        }
        true
    }

    /// Commands come straight to it. The report after them, or `None` if it refuses them.
    pub fn orders(&mut self, orders: &DirectOrders) -> Option<CheckIn> {
        if orders.tenure != self.report.tenure || orders.baton < self.baton {
            return None;
        }
        self.take(&CheckInAnswer { baton: orders.baton, orders: orders.orders.clone() });
        Some(self.report())
    }

    fn find(&self, piece: &str, attempt: u64) -> Option<usize> {
        self.report.pieces.iter().position(|p| p.piece == piece && p.r#try == attempt)
    }

    fn end_at(&mut self, i: usize, cause: Cause) {
        self.report.pieces[i].status = PieceState::Ended;
        self.report.pieces[i].cause = Some(cause);
    }

    /// A task ends; `false` if it is not there.
    pub fn end(&mut self, piece: &str, cause: Cause) -> bool {
        let found = self
            .report
            .pieces
            .iter()
            .position(|p| p.piece == piece && p.status != PieceState::Ended);
        if let Some(i) = found {
            self.end_at(i, cause);
        }
        found.is_some()
    }

    /// The tasks that are on the machine and have not ended.
    pub fn live(&self) -> Vec<String> {
        self.report
            .pieces
            .iter()
            .filter(|p| p.status != PieceState::Ended)
            .map(|p| p.piece.clone())
            .collect()
    }

    /// Its lease runs out: it kills and forgets everything.
    pub fn expire(&mut self) {
        self.report.pieces.clear();
        self.report.tenure += 1;
    }
}

//! A task that owns a value and runs the work sent to it, one piece after the other.

use tokio::sync::{mpsc, oneshot};

use crate::server::Cut;

type Job<T> = Box<dyn FnOnce(&mut T) + Send>;

/// Handle to the task; the task ends with the last handle.
#[derive(Debug)]
pub struct Owner<T> {
    jobs: mpsc::UnboundedSender<Job<T>>,
}

impl<T> Clone for Owner<T> {
    fn clone(&self) -> Owner<T> {
        Owner { jobs: self.jobs.clone() }
    }
}

impl<T: Send + 'static> Owner<T> {
    /// Spawns the task.
    pub fn spawn(mut value: T) -> Owner<T> {
        let (jobs, mut queue) = mpsc::unbounded_channel::<Job<T>>();
        tokio::spawn(async move {
            while let Some(job) = queue.recv().await {
                job(&mut value);
            }
        });
        Owner { jobs }
    }

    /// Runs a piece of work and returns its result.
    ///
    /// # Errors
    /// If the task has ended.
    pub async fn ask<R: Send + 'static>(
        &self,
        work: impl FnOnce(&mut T) -> R + Send + 'static,
    ) -> Result<R, Cut> {
        let (reply, result) = oneshot::channel();
        self.tell(move |value| {
            // The asker may have left; the work counts all the same.
            let _ = reply.send(work(value));
        });
        result.await.map_err(|_| Cut)
    }

    /// Runs a piece of work without waiting for it.
    pub fn tell(&self, work: impl FnOnce(&mut T) + Send + 'static) {
        // Fails only while the runtime stops.
        let _ = self.jobs.send(Box::new(work));
    }
}

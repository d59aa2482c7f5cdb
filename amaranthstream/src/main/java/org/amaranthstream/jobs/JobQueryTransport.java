package org.amaranthstream.jobs;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.jobs.wire.JobAnswer;
import org.amaranthstream.jobs.wire.JobQuestion;
import org.amaranthstream.result.Result;

/** Transport of queries about jobs to other daemons. */
@FunctionalInterface
public interface JobQueryTransport {

  /**
   * Sends a query to a daemon.
   *
   * @param timeout how long to wait for the response
   * @return the response; the future never completes exceptionally
   */
  CompletableFuture<Result<JobAnswer>> query(EntryVmId vm, JobQuestion query, Duration timeout);
}

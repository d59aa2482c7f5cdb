package org.amaranthstream.jobs;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.jobs.wire.JobAnswer;
import org.amaranthstream.jobs.wire.JobQuestion;
import org.amaranthstream.result.Result;

/** Asks other daemons about jobs. */
@FunctionalInterface
public interface JobQueryTransport {

  /** Asks {@code vm}; the future never completes exceptionally. */
  CompletableFuture<Result<JobAnswer>> query(EntryVmId vm, JobQuestion query, Duration timeout);
}

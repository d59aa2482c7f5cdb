package org.amaranthstream.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.result.Result;

/** The platform's list of live and leaving VMs. The list lags behind the truth. Thread safe. */
public interface VmList {

  /** Reads the list. */
  CompletableFuture<Result<List<VmEntry>>> read();
}

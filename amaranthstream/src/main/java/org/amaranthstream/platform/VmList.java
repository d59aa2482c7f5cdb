package org.amaranthstream.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.result.Result;

/**
 * A client of the platform's list of VMs, both running ones and those about to be removed. The list
 * is eventually consistent.
 *
 * <p>Thread safe.
 */
public interface VmList {

  /** Reads the list. */
  CompletableFuture<Result<List<VmEntry>>> read();
}

package org.amaranthstream.once;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.CallerId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WorkClassId;

/**
 * A request that wants to run under its key.
 *
 * @param request the request
 * @param caller who sent it
 * @param workClass its class of work
 * @param key the key as sent
 */
public record ClaimRequest(RequestId request, CallerId caller, WorkClassId workClass, String key) {

  /** Creates a request. */
  public ClaimRequest {
    checkNotNull(request, "request");
    checkNotNull(caller, "caller");
    checkNotNull(workClass, "workClass");
    checkNotNull(key, "key");
  }
}

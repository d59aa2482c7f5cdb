package org.amaranthstream.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.ids.CallerId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WorkClassId;

/**
 * The parameters of an attempt to claim the key of a request.
 *
 * @param request the id of the request
 * @param caller the caller that sent the request
 * @param workClass the work class of the request
 * @param key the idempotency key as the caller sent it, not parsed yet
 */
public record ClaimRequest(RequestId request, CallerId caller, WorkClassId workClass, String key) {

  /** Creates a claim request. */
  public ClaimRequest {
    checkNotNull(request, "request");
    checkNotNull(caller, "caller");
    checkNotNull(workClass, "workClass");
    checkNotNull(key, "key");
  }
}

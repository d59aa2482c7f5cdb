package org.amaranthstream.admin;

import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.result.Result;

/** Explains a request to an operator, from the records of whichever daemon holds them. */
@FunctionalInterface
public interface RequestExplainer {

  /** Returns sentences for a person, or why there are none. */
  CompletableFuture<Result<String>> explain(RequestId request);
}

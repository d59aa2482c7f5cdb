package org.amaranthstream.admin;

import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.result.Result;

/**
 * A source of explanations of what happened to a request, taken from the decision records of the
 * daemon that has them.
 */
@FunctionalInterface
public interface RequestExplainer {

  /** Returns the explanation as readable sentences, or the error that prevented it. */
  CompletableFuture<Result<String>> explain(RequestId request);
}

package org.amaranthstream.routing;

/** Kind of a route's requests, which decides whether they may be repeated. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once. */
  NON_IDEMPOTENT,
  /** The response is a stream of events; a request runs at most once unless it is resumable. */
  STREAMING,
  /** The requests submit and read batch jobs. */
  BATCH
}

package org.amaranthstream.routing;

/** What may be repeated of a route's requests. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once. */
  NON_IDEMPOTENT,
  /** The answer is a series of events; runs at most once unless the route is resumable. */
  STREAMING,
  /** Batch jobs are submitted on the route. */
  BATCH
}

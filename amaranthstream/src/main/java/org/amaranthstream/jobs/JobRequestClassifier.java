package org.amaranthstream.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.routing.RoutingConfig;

/**
 * Classifier of callers' requests: about a batch job, or a call that is forwarded by a route.
 *
 * <p>A job outlives the route by which it was submitted: a newer configuration may remove that
 * route, move it to another host or change its kind, and daemons that start later never see it.
 * Where the configuration alone cannot tell, the record of the job decides.
 *
 * <p>A pure function of the configuration. Not instantiable.
 */
public final class JobRequestClassifier {
  /** What a request is by its method and path. */
  public enum Shape {
    /** A read or an end of a job, or a read of an item's body, if there is such a job. */
    JOB_CALL,

    /** Another method on a path of job calls. */
    OTHER_ON_JOB_PATH,

    /** A request on any other path that submits a job again, if there is such a job. */
    SUBMISSION,

    /** Any other request. */
    OTHER
  }

  /** How a request is handled. */
  public enum Decision {
    /** As a request about a job. */
    JOB,

    /** By the route that matches, or rejected if there is none. */
    CALL,

    /** As a request about a job if the job that it names exists, otherwise as a call. */
    BY_RECORD
  }

  private JobRequestClassifier() {}

  /** Returns how a request for {@code path} of {@code host} is handled. */
  public static Decision classify(RoutingConfig config, String host, String path, Shape shape) {
    checkNotNull(shape, "shape");
    boolean hasBatchRoute = !config.batchRoutes(host).isEmpty();
    boolean hasRoute = config.find(host, path).isPresent();
    return switch (shape) {
      case JOB_CALL -> hasBatchRoute || !hasRoute ? Decision.JOB : Decision.BY_RECORD;
      case OTHER_ON_JOB_PATH -> hasBatchRoute ? Decision.JOB : Decision.CALL;
      case SUBMISSION -> hasRoute ? Decision.CALL : Decision.BY_RECORD;
      case OTHER -> Decision.CALL;
    };
  }
}

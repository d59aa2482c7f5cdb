package org.amaranthstream.jobs;

import org.amaranthstream.ids.JobId;

/** Store keys of batch jobs. */
final class JobKeys {
  static final String OWNERS = "amaranthstream/owners/";
  private static final String JOBS = "amaranthstream/jobs/";
  private static final String RESULTS = "amaranthstream/results/";
  private static final String PROGRESS = "amaranthstream/progress/";

  private JobKeys() {}

  static String owner(JobId job) {
    return OWNERS + job;
  }

  /** Returns the job of an owner key. */
  static JobId jobOfOwner(String key) {
    return JobId.parse(key.substring(OWNERS.length()));
  }

  /** Returns the key of one part of the job record. */
  static String part(JobId job, int part) {
    return JOBS + job + "/" + part;
  }

  /** Returns the prefix of the pages of results. */
  static String results(JobId job) {
    return RESULTS + job + "/";
  }

  /** Returns the prefix of the checkpoint pages. */
  static String progress(JobId job) {
    return PROGRESS + job + "/";
  }

  /** Returns the key of the checkpoint page with the number {@code page}. */
  static String progressPage(JobId job, int page) {
    return String.format("%s%06d", progress(job), page);
  }

  /** Returns the number of a checkpoint page from its key. */
  static int numberOfPage(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }

  /** Returns the key of the page of results whose first result has {@code position}. */
  static String page(JobId job, int position) {
    return String.format("%s%06d", results(job), position);
  }
}

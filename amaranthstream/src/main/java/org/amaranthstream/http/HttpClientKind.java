package org.amaranthstream.http;

import com.google.common.base.Ascii;

/** HTTP clients of a process, by what they send. */
public enum HttpClientKind {
  /** Attempts of calls and of generations at backend servers. */
  CALLS,
  /** Reads of the load reports of backend servers. */
  LOAD_REPORTS,
  /** Load orders to model engines. */
  ORDERS,
  /** Calls to the platform's store and list of VMs. */
  PLATFORM,
  /** Calls to the platform's API. */
  PLATFORM_API,
  /** Calls of the command line to the administration API of a daemon. */
  ADMINISTRATION;

  /** Returns the name of the client in logs and metrics. */
  public String label() {
    return Ascii.toLowerCase(name());
  }
}

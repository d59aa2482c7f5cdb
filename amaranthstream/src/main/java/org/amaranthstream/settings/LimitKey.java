package org.amaranthstream.settings;

/** The keys under {@code limits}. Each name ends with its unit. */
public enum LimitKey {
  /** Greatest HTTP request body. */
  BODY_BYTES("bodyBytes", 1_048_576, 1_024, 16_777_216, false),
  /** Greatest sum of the HTTP request headers. */
  HEADER_BYTES("headerBytes", 8_192, 1_024, 65_536, false),
  /** Greatest number of HTTP connections that are open at a time. */
  HTTP_CONNECTIONS("httpConnections", 2_048, 1, 65_536, false),
  /** Greatest frame on a peer link. */
  PEER_FRAME_BYTES("peerFrameBytes", 4_194_304, 4_096, 16_777_216, false),
  /** Tasks that may wait for the decision thread. */
  DECISION_QUEUE_TASKS("decisionQueueTasks", 8_192, 64, 1_048_576, true),
  /** Frames that may wait for a peer link. */
  PEER_QUEUE_FRAMES("peerQueueFrames", 1_024, 64, 65_536, true),
  /** Tasks that may wait for the platform client. */
  PLATFORM_QUEUE_TASKS("platformQueueTasks", 1_024, 64, 65_536, true),
  /** Decision records that may wait for the writer. */
  WRITER_QUEUE_RECORDS("writerQueueRecords", 4_096, 64, 1_048_576, true),
  /** Requests of one class that may wait for a backend server. */
  CLASS_QUEUE_REQUESTS("classQueueRequests", 4_096, 1, 1_048_576, false),
  /** Decision records that are kept in memory. */
  DECISION_RECORDS("decisionRecords", 16_384, 64, 1_048_576, true),
  /** Calls a second that this process may make to the platform. */
  PLATFORM_CALLS_PER_SECOND("platformCallsPerSecond", 20, 1, 1_000, false);

  private final String key;
  private final int defaultValue;
  private final int min;
  private final int max;
  private final boolean powerOfTwo;

  LimitKey(String key, int defaultValue, int min, int max, boolean powerOfTwo) {
    this.key = key;
    this.defaultValue = defaultValue;
    this.min = min;
    this.max = max;
    this.powerOfTwo = powerOfTwo;
  }

  /** Returns the key in the YAML file. */
  public String key() {
    return key;
  }

  /** Returns the value that holds if the key is missing. */
  public int defaultValue() {
    return defaultValue;
  }

  /** Returns the least value. */
  public int min() {
    return min;
  }

  /** Returns the greatest value. */
  public int max() {
    return max;
  }

  /** Returns true if the value has to be a power of two, as the size of a ring. */
  public boolean isPowerOfTwo() {
    return powerOfTwo;
  }

  /** Returns true if {@code value} is allowed. */
  boolean allows(int value) {
    return value >= min && value <= max && (!powerOfTwo || Integer.bitCount(value) == 1);
  }
}

package org.amaranthstream.settings;

/** Keys of the {@code limits} section of the settings. Each name ends with its unit. */
public enum LimitKey {
  /** Maximum size of an HTTP request body. */
  BODY_BYTES("bodyBytes", 1_048_576, 1_024, 16_777_216, false),
  /** Maximum total size of the headers of an HTTP request. */
  HEADER_BYTES("headerBytes", 8_192, 1_024, 65_536, false),
  /** Maximum number of HTTP connections that are open at the same time. */
  HTTP_CONNECTIONS("httpConnections", 2_048, 1, 65_536, false),
  /** Maximum size of a frame on a peer link. */
  PEER_FRAME_BYTES("peerFrameBytes", 4_194_304, 4_096, 16_777_216, false),
  /** Maximum number of tasks queued for the decision thread. */
  DECISION_QUEUE_TASKS("decisionQueueTasks", 8_192, 64, 1_048_576, true),
  /** Maximum number of frames queued for a peer link. */
  PEER_QUEUE_FRAMES("peerQueueFrames", 1_024, 64, 65_536, true),
  /** Maximum number of tasks queued for the platform client. */
  PLATFORM_QUEUE_TASKS("platformQueueTasks", 1_024, 64, 65_536, true),
  /** Maximum number of decision records queued for the writer. */
  WRITER_QUEUE_RECORDS("writerQueueRecords", 4_096, 64, 1_048_576, true),
  /** Maximum number of requests of one class queued for a backend server. */
  CLASS_QUEUE_REQUESTS("classQueueRequests", 4_096, 1, 1_048_576, false),
  /** Number of decision records that are kept in memory. */
  DECISION_RECORDS("decisionRecords", 16_384, 64, 1_048_576, true),
  /** Maximum number of calls per second from this process to the platform. */
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

  /** Returns the name of the key in the YAML file. */
  public String key() {
    return key;
  }

  /** Returns the value that applies if the key is missing. */
  public int defaultValue() {
    return defaultValue;
  }

  /** Returns the minimum value, inclusive. */
  public int min() {
    return min;
  }

  /** Returns the maximum value, inclusive. */
  public int max() {
    return max;
  }

  /** Returns true if the value must be a power of two because it is the size of a ring buffer. */
  public boolean isPowerOfTwo() {
    return powerOfTwo;
  }

  /** Returns true if {@code value} is in range and, where required, a power of two. */
  boolean allows(int value) {
    return value >= min && value <= max && (!powerOfTwo || Integer.bitCount(value) == 1);
  }
}

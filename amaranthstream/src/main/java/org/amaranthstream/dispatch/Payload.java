package org.amaranthstream.dispatch;

/** What a backend server is asked to do. */
public sealed interface Payload {

  /**
   * Generate tokens.
   *
   * @param prompt the text to continue
   * @param maxTokens greatest number of tokens to generate
   * @param seed seed of the sampling, so that samples of one group differ
   */
  record Generate(String prompt, int maxTokens, long seed) implements Payload {}

  /**
   * Make an HTTP POST to a plain service.
   *
   * @param path path of the call, with a leading slash
   * @param contentType media type of the body
   * @param body the body; callers do not change it
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Call(String path, String contentType, byte[] body) implements Payload {}
}

package org.amaranthstream.dispatch;

/** The task of a request, to be run on a backend server. */
public sealed interface Payload {

  /**
   * Token generation by a model engine.
   *
   * @param prompt the text to continue
   * @param maxTokens maximum number of tokens to generate
   * @param seed sampling seed, so that the samples of one group differ
   */
  record Generate(String prompt, int maxTokens, long seed) implements Payload {}

  /**
   * An HTTP POST to a plain service.
   *
   * @param path request path, with a leading slash
   * @param contentType media type of the body
   * @param body the body; must not be modified afterwards
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Call(String path, String contentType, byte[] body) implements Payload {}
}

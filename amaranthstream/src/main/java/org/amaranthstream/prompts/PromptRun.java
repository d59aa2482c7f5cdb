package org.amaranthstream.prompts;

/** A request with a prompt at an engine. Not thread safe. */
public interface PromptRun {
  /** A run whose prompt is not known, or is not tracked. */
  PromptRun UNTRACKED =
      new PromptRun() {
        @Override
        public void onEvent() {}

        @Override
        public void onEnded(boolean hasRun) {}
      };

  /** Records that an event has arrived; the first one follows the reading of the prompt. */
  void onEvent();

  /**
   * Records that the run has ended. Must be called once.
   *
   * @param hasRun false if the engine has not run the request, and so has not read its prompt
   */
  void onEnded(boolean hasRun);
}

package org.amaranthstream.standins.engine;

/** Last line of a complete streamed response: the end marker. */
record EndLine(String attempt, boolean end, long tokens, String finishReason) {}

package org.amaranthstream.bench.entrypath;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Result of the comparison, which is written as one JSON line. Rates, medians and percentiles are
 * medians over the rounds; {@code failed} is a total.
 */
record EntryPathResult(
    int callers,
    int seconds,
    int rounds,
    @JsonProperty("direct_per_s") double directPerSecond,
    @JsonProperty("direct_median_ms") double directMedianMs,
    @JsonProperty("direct_p99_ms") double directP99Ms,
    @JsonProperty("entry_per_s") double entryPerSecond,
    @JsonProperty("entry_median_ms") double entryMedianMs,
    @JsonProperty("entry_p99_ms") double entryP99Ms,
    @JsonProperty("added_median_ms") double addedMedianMs,
    @JsonProperty("added_p99_ms") double addedP99Ms,
    @JsonProperty("median_ratio") double medianRatio,
    @JsonProperty("daemon_cpu_ms_per_call") double daemonCpuMsPerCall,
    @JsonProperty("calls_per_s_of_a_core") double callsPerSecondOfOneCore,
    long failed) {}

/*
 * Capacity and timing settings of an emulated engine.
 */
package org.arbutusnotch.testing.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes an engine.
 *
 * With the defaults a decode step takes 10.4 ms with one request and 18 ms with 20, so a full batch still meets the
 * target of 26 ms between tokens. A prefill of 4,000 uncached tokens takes 65 ms when it runs alone.
 *
 * @property address address that the engine listens on, `ip:port`
 * @property slots decode requests that run at a time
 * @property waitingLimit decode or prefill requests that may wait for a slot; further ones are refused with status 429
 * @property stepBase fixed part of the duration of a decode step
 * @property stepPerRequest duration that each running request adds to a decode step
 * @property prefillPerToken duration of an uncached prompt token when a single prefill runs
 * @property prefillBase fixed part of the duration of a prefill
 * @property maxParallelPrefills prefills that run at a time and share the processors
 * @property resultRetention time for which a prefill result is kept
 * @property linkTokensPerSecond rate of KV cache transfer in prompt tokens, shared by all transfers
 * @property cacheBlocks capacity of the prefix cache in blocks
 * @property memoryBlocks memory in blocks for running requests and prefill results
 * @property loadLag how far the load report lags behind the load
 * @property eventLag delay of cache events
 * @property lostEventShare share of cache events that are never published
 * @property checkFencingNumbers whether an order with a lower fencing number than an earlier one is refused
 * @property releaseOnDisconnect whether the engine stops a request when its caller disconnects
 * @property seed seed of the random choice of lost cache events
 */
internal data class EngineSettings(
    val address: String,
    val role: EngineRole = EngineRole.BOTH,
    val slots: Int = 20,
    val waitingLimit: Int = 16,
    val stepBase: Duration = 10.milliseconds,
    val stepPerRequest: Duration = 400.microseconds,
    val prefillPerToken: Duration = 15.microseconds,
    val prefillBase: Duration = 5.milliseconds,
    val maxParallelPrefills: Int = 2,
    val resultRetention: Duration = 800.milliseconds,
    val linkTokensPerSecond: Double = 200_000.0,
    val cacheBlocks: Int = 96,
    val memoryBlocks: Int = 512,
    val loadLag: Duration = 2.seconds,
    val eventLag: Duration = 500.milliseconds,
    val lostEventShare: Double = 0.05,
    val checkFencingNumbers: Boolean = false,
    val releaseOnDisconnect: Boolean = false,
    val seed: Long = 1,
)

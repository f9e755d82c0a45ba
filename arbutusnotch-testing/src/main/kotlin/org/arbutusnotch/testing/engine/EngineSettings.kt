/*
 * The sizes and speeds of an emulated engine.
 */
package org.arbutusnotch.testing.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes an engine.
 *
 * With the defaults a step takes 10.4 ms alone and 18 ms with 20 requests, so the target of 26 ms between tokens holds
 * up to a full batch; a prefill of 4,000 uncached tokens takes 65 ms alone.
 *
 * @property slots decode requests that run at a time
 * @property waitingLimit decode or prefill requests that wait for a slot; more are refused with 429
 * @property stepBase time of a decode step without requests
 * @property stepPerRequest time that each request adds to a decode step
 * @property prefillPerToken time that an uncached prompt token takes when one prefill runs
 * @property prefillBase time that every prefill takes besides its tokens
 * @property prefillParallel prefills that run at a time and share the processors
 * @property retention time for which a prefill result is kept
 * @property linkTokensPerSecond prompt tokens whose KV cache crosses the link per second, over all transfers
 * @property cacheBlocks blocks of the prefix cache
 * @property memoryBlocks blocks for running requests and prefill results
 * @property loadLag age of the load report
 * @property eventLag delay of cache events
 * @property lostEventShare share of cache events that are never published
 * @property fencing whether an order with an older fencing number is refused
 * @property releaseOnDisconnect whether the engine stops a request when its caller disconnects
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
    val prefillParallel: Int = 2,
    val retention: Duration = 800.milliseconds,
    val linkTokensPerSecond: Double = 200_000.0,
    val cacheBlocks: Int = 96,
    val memoryBlocks: Int = 512,
    val loadLag: Duration = 2.seconds,
    val eventLag: Duration = 500.milliseconds,
    val lostEventShare: Double = 0.05,
    val fencing: Boolean = false,
    val releaseOnDisconnect: Boolean = false,
    val seed: Long = 1,
)

/*
 * Waits until a published revision is active on every instance.
 */
package org.arbutusnotch.cli

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.id.RevisionNumber
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

internal class WaitCommand : SuspendingCliktCommand("wait") {
    private val options by InstanceOptions(defaultTimeoutSeconds = 15)
    private val revision by option("--revision", metavar = "N", help = "Revision to wait for; a later one also counts")
        .long().restrictTo(min = 1).required()

    override fun help(context: Context): String =
        "Wait until a revision or a later one is active on every instance, and list the instances that lag behind."

    override fun helpEpilog(context: Context): String =
        example("wait --revision 42 --timeout 9 --instance 127.0.0.1:18082")

    override suspend fun run() {
        val deadline = TimeSource.Monotonic.markNow() + options.timeout
        val progress = OperatorClient(REQUEST_TIMEOUT).use { client -> await(FleetReader(client), deadline) }
        if (options.output == OutputFormat.JSON) printJson(WaitResult(revision, progress))
        when {
            progress.reached -> printReached(progress)
            progress.fleet.statuses.isEmpty() -> failOnErrors(progress.fleet.errors)
            else -> failNotReached(progress)
        }
    }

    private suspend fun await(reader: FleetReader, deadline: TimeMark): RevisionProgress {
        var progress = RevisionProgress(RevisionNumber(revision), reader.read(options.instances))
        while (!progress.isFinal && deadline.hasNotPassedNow()) {
            delay(POLL_INTERVAL)
            progress = RevisionProgress(RevisionNumber(revision), reader.read(options.instances))
        }
        return progress
    }

    private fun printReached(progress: RevisionProgress) {
        if (options.output == OutputFormat.JSON) return
        echo("revision $revision is active on all ${progress.fleet.instances.size} instances")
    }

    private fun failNotReached(progress: RevisionProgress) {
        progress.digests.takeIf { it.size > 1 }?.let { digests ->
            printError("revision $revision has different content on different instances: ${digests.joinToString()}")
        }
        if (progress.lagging.isNotEmpty()) {
            val count = "${progress.lagging.size} of ${progress.fleet.instances.size} instances"
            printError("revision $revision is not active on $count after ${options.timeout}:")
            progress.lagging.forEach { result -> echo("  ${progress.describe(result)}", err = true) }
        }
        throw ProgramResult(ExitCode.FAILED.value)
    }

    private companion object {
        /** An instance that does not respond within this time counts as lagging until the next poll. */
        val REQUEST_TIMEOUT = 3.seconds
        val POLL_INTERVAL = 250.milliseconds
    }
}

/** Compares the status of all instances with the expected [revision]. */
internal class RevisionProgress(private val revision: RevisionNumber, val fleet: FleetStatus) {
    val lagging: List<InstanceResult> = fleet.instances.filterNot { result -> isActiveOn(result) }

    /** Digests of the revision on all instances; more than one means that it was published with different content. */
    val digests: Set<String> = fleet.statuses.filter { it.revision == revision }
        .mapNotNull { it.digest?.value }
        .toSet()

    val reached: Boolean = lagging.isEmpty() && digests.size <= 1

    /** Whether waiting cannot change the result; an active revision is never replaced by one with the same number. */
    val isFinal: Boolean = reached || digests.size > 1

    fun describe(result: InstanceResult): String {
        val status = result.status ?: return "${result.error}; reached by ${reachingPeerCount(result)} of its peers"
        val active = status.revision?.let { "revision $it active" } ?: "no revision active"
        val candidate = status.candidateRevision?.let { "candidate $it" }
        val conflicts = status.conflicts.takeIf { it > 0 }?.let { "$it conflicts" }
        return "${result.operatorAddress}: " + listOfNotNull(status.state, active, candidate, conflicts).joinToString()
    }

    private fun reachingPeerCount(result: InstanceResult): Int = fleet.countPeersThatReach(result.operatorAddress)

    private fun isActiveOn(result: InstanceResult): Boolean =
        result.status?.revision?.let { active -> active >= revision } ?: false
}

@Serializable
internal data class WaitResult(
    val revision: Long,
    val reached: Boolean,
    val instances: List<String>,
    val lagging: List<String>,
    val digests: List<String>,
) {
    constructor(revision: Long, progress: RevisionProgress) : this(
        revision = revision,
        reached = progress.reached,
        instances = progress.fleet.instances.map { it.operatorAddress },
        lagging = progress.lagging.map { it.operatorAddress },
        digests = progress.digests.toList(),
    )
}

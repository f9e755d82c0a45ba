/*
 * Guards against a non-idempotent request that runs twice, a `not_run` for a request that has run, a second outcome and
 * an answer to a different request, for any order of messages and failures.
 */
package org.arbutusnotch.core.permit

import net.jqwik.api.Arbitrary
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.ActionChain
import net.jqwik.api.statistics.Statistics
import org.arbutusnotch.core.fuzz.ANNOTATED_SEED
import org.arbutusnotch.core.fuzz.FuzzStep
import org.arbutusnotch.core.fuzz.seeded
import java.util.function.Predicate

internal class AtMostOnceFuzzTest {
    @Property(seed = ANNOTATED_SEED, edgeCases = EdgeCasesMode.NONE)
    fun `the request of a token runs at most once and its outcomes are correct`(
        @ForAll("sequences") sequence: ActionChain<AtMostOnceModel>,
    ) {
        val model = sequence.run()
        model.settle()
        checkCoverage(model.oracle.reachedEvents)
    }

    @Provide
    fun sequences(): Arbitrary<ActionChain<AtMostOnceModel>> = ActionChain
        .startWith { AtMostOnceModel() }
        .withAction(1, FuzzStep("issue token", AtMostOnceModel::issueToken))
        .withAction(6, FuzzStep("start attempt", AtMostOnceModel::startAttempt))
        .withAction(16, FuzzStep("deliver message", AtMostOnceModel::deliverMessage))
        .withAction(2, FuzzStep("lose message", AtMostOnceModel::loseMessage))
        .withAction(2, FuzzStep("resend permit request", AtMostOnceModel::resendPermitRequest))
        .withAction(1, FuzzStep("time out issuer", AtMostOnceModel::timeOutIssuer))
        .withAction(5, FuzzStep("write", AtMostOnceModel::write))
        .withAction(5, FuzzStep("run on backend", AtMostOnceModel::runOnBackend))
        .withAction(3, FuzzStep("deliver answer", AtMostOnceModel::deliverAnswer))
        .withAction(2, FuzzStep("fail attempt", AtMostOnceModel::failAttempt))
        .withAction(3, FuzzStep("advance time", AtMostOnceModel::advanceTime))
        .withAction(1, FuzzStep("adjust clock", AtMostOnceModel::adjustClock))
        .withAction(1, FuzzStep("pause or resume", AtMostOnceModel::pauseOrResume))
        .withAction(1, FuzzStep("restart", AtMostOnceModel::restart))
        .withAction(1, FuzzStep("partition or heal", AtMostOnceModel::partitionOrHeal))
        .withMaxTransformations(MAXIMUM_STEPS)
        .seeded()

    /** Checks that enough sequences reach a run and each of the outcomes. */
    private fun checkCoverage(reachedEvents: Set<String>) {
        listOf("ran", "answered", "not_run", "unknown").forEach { event ->
            Statistics.label(event).collect(event in reachedEvents).coverage { checker ->
                checker.check(true).percentage(Predicate<Double> { it > MINIMUM_COVERAGE_PERCENT })
            }
        }
    }

    private companion object {
        const val MAXIMUM_STEPS = 120
        const val MINIMUM_COVERAGE_PERCENT = 10.0
    }
}

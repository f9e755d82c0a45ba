/*
 * Guards against a non-idempotent request that runs twice, a `not_run` that is not true, a second outcome and an answer
 * to another request, whatever order messages and failures come in.
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
    fun `a token runs at most once and its outcomes are true`(
        @ForAll("sequences") sequence: ActionChain<AtMostOnceModel>,
    ) {
        val model = sequence.run()
        model.settle()
        coverage(model.oracle.reached)
    }

    @Provide
    fun sequences(): Arbitrary<ActionChain<AtMostOnceModel>> = ActionChain
        .startWith { AtMostOnceModel() }
        .withAction(1, FuzzStep("issue token", AtMostOnceModel::issueToken))
        .withAction(6, FuzzStep("call", AtMostOnceModel::call))
        .withAction(16, FuzzStep("deliver", AtMostOnceModel::deliver))
        .withAction(2, FuzzStep("lose", AtMostOnceModel::lose))
        .withAction(2, FuzzStep("ask again", AtMostOnceModel::askAgain))
        .withAction(1, FuzzStep("give up on issuer", AtMostOnceModel::giveUpOnIssuer))
        .withAction(5, FuzzStep("write", AtMostOnceModel::write))
        .withAction(5, FuzzStep("run on backend", AtMostOnceModel::runOnBackend))
        .withAction(3, FuzzStep("deliver answer", AtMostOnceModel::deliverAnswer))
        .withAction(2, FuzzStep("fail", AtMostOnceModel::fail))
        .withAction(3, FuzzStep("pass time", AtMostOnceModel::passTime))
        .withAction(1, FuzzStep("move clock", AtMostOnceModel::moveClock))
        .withAction(1, FuzzStep("pause or resume", AtMostOnceModel::pauseOrResume))
        .withAction(1, FuzzStep("restart", AtMostOnceModel::restart))
        .withAction(1, FuzzStep("cut or heal", AtMostOnceModel::cutOrHeal))
        .withMaxTransformations(STEPS)
        .seeded()

    /** Guards against sequences that no longer reach a run or one of the outcomes. */
    private fun coverage(reached: Set<String>) {
        listOf("ran", "answered", "not_run", "unknown").forEach { event ->
            Statistics.label(event).collect(event in reached).coverage { checker ->
                checker.check(true).percentage(Predicate<Double> { it > MINIMUM_COVERAGE_PERCENT })
            }
        }
    }

    private companion object {
        const val STEPS = 120
        const val MINIMUM_COVERAGE_PERCENT = 10.0
    }
}

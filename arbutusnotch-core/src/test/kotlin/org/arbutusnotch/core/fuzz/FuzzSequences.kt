/*
 * What the stateful property tests share: steps whose details come from one generated number, and the seed.
 *
 * The number of sequences of each property is the system property `jqwik.tries.default`, the seed the system property
 * `arbutusnotch.fuzz.seed`; the build sets both.
 */
package org.arbutusnotch.core.fuzz

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.RandomDistribution
import net.jqwik.api.state.Action
import net.jqwik.api.state.Transformer
import java.util.Random

/** Reads small decisions from one generated number. */
internal class Choice(private var rest: Int) {
    fun <T> of(options: List<T>): T {
        val selected = options[rest % options.size]
        rest /= options.size
        return selected
    }

    fun chance(oneIn: Int): Boolean = of(List(oneIn) { it == 0 })
}

/** Changes the state in a way that depends on a [Choice]. */
internal class FuzzStep<T : Any>(private val name: String, private val change: T.(Choice) -> Unit) :
    Action.Independent<T> {
    override fun transformer(): Arbitrary<Transformer<T>> = Arbitraries.integers()
        .between(0, Int.MAX_VALUE)
        .withDistribution(RandomDistribution.uniform())
        .map { number -> Transformer.mutate("$name $number") { it.change(Choice(number)) } }
}

/** Mixes the seed of the system property into the fixed seed of the test. */
internal fun <T : Any> Arbitrary<T>.seeded(): Arbitrary<T> {
    val generator = generator(GENERATOR_SIZE)
    return Arbitraries.fromGenerator { random -> generator.next(Random(random.nextLong() xor FUZZ_SEED)) }
}

/** Seed that the properties are annotated with; it makes every run of the same build generate the same sequences. */
internal const val ANNOTATED_SEED = "1"

private const val GENERATOR_SIZE = 1_000
private val FUZZ_SEED = System.getProperty("arbutusnotch.fuzz.seed", "0").toLong()

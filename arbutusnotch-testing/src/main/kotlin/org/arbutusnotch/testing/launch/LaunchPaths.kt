/*
 * Class paths of the programs that the launcher starts.
 */
package org.arbutusnotch.testing.launch

import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.exists
import kotlin.io.path.listDirectoryEntries

/**
 * Holds the class paths of the programs.
 *
 * @property emulators class path of the emulators in this module
 * @property daemon class path of `org.arbutusnotch.daemon.MainKt`
 */
public data class LaunchPaths(public val emulators: String, public val daemon: String) {
    /** Path of the `java` command of the JVM that runs this process. */
    public val java: String = Path(System.getProperty("java.home"), "bin", "java").toString()

    public companion object {
        /** Returns the class path of this process for all programs; it must contain the daemon. */
        public fun ofThisProcess(): LaunchPaths {
            // Surefire runs tests from a jar that only lists the class path in its manifest.
            val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
            return LaunchPaths(classPath, classPath)
        }

        /** Returns the class paths of the packaged modules of the project at [root]. */
        public fun ofProject(root: Path): LaunchPaths =
            LaunchPaths(classPath(root.resolve("arbutusnotch-testing")), classPath(root.resolve("arbutusnotch-daemon")))

        private fun classPath(module: Path): String {
            val target = module.resolve("target")
            require(target.exists()) { "$target does not exist; build the project first" }
            val jars = target.listDirectoryEntries("*.jar").filter { "sources" !in it.toString() }
            return (jars.map { it.toString() } + "$target/lib/*").joinToString(":")
        }
    }
}

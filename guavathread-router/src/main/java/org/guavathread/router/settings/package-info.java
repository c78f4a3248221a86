/** Settings from flags and environment variables, validated before the daemon starts. */
package org.guavathread.router.settings;

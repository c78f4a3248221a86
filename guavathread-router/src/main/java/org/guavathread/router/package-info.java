/** The daemon {@code guavathreadd}: it carries out what the decisions of the core ask for. */
package org.guavathread.router;

/** Commands that run the stand-ins, experiments, randomised runs and load. */
package org.apricotdeal.tool.lab;

#pragma once

#include "fakes/fleet.h"

#include <gtest/gtest.h>

#include <QCoreApplication>

namespace Plantainweir {

/** Fixture of the process tests: a fleet, and the application object that its processes and sockets need. */
class ProcessTest : public testing::Test
{
private:
    int m_argumentCount = 1;
    char m_program[5] = "test";
    char *m_arguments[2] = {m_program, nullptr};
    QCoreApplication m_application{m_argumentCount, m_arguments};

protected:
    Fleet fleet;
};

}

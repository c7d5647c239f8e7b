#include "waxwingloft/process/logger.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace waxwingloft {

void openLog(const std::string &node, const std::string &level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p " + node + " [%c] %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

Logger::Logger(LogPart part)
    : name(nameOf(part))
{
}

void Logger::info(const std::string &sentence) const
{
    LOG4CXX_INFO(log4cxx::Logger::getLogger(this->name), sentence);
}

void Logger::warn(const std::string &sentence) const
{
    LOG4CXX_WARN(log4cxx::Logger::getLogger(this->name), sentence);
}

void Logger::error(const std::string &sentence) const
{
    LOG4CXX_ERROR(log4cxx::Logger::getLogger(this->name), sentence);
}

} // namespace waxwingloft

#include "waxwingloft/process/logger.h"

#include <chrono>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace waxwingloft {

namespace {

constexpr int QueuedLines = 1024; ///< about 200 KB at most while the reader stalls
constexpr std::uint32_t NoBound = 1'000'000'000; ///< before the log is opened

LogBudget &budget()
{
    static LogBudget instance(NoBound);
    return instance;
}

/** Escapes what would end a quoted value or a line: a zero byte ends it too, as the console takes a line as a C string. */
void appendQuoted(std::string &line, std::string_view text)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    line += '"';
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (code < ' ') {
            line += "\\u00";
            line += Digits[code / Digits.size()];
            line += Digits[code % Digits.size()];
        } else {
            line += character;
        }
    }
    line += '"';
}

std::int64_t currentSecond()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

} // namespace

std::string logLine(const std::string &sentence, LogFields fields)
{
    std::string line = "what=";
    appendQuoted(line, sentence);
    for (const auto &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendQuoted(line, field.value);
    }
    return line;
}

void openLog(const std::string &node, const std::string &level, std::uint32_t infoLinesPerSecond)
{
    budget().setBound(infoLinesPerSecond);
    const auto layout = std::make_shared<log4cxx::PatternLayout>("time=%d{ISO8601} level=%p node=" + node + " part=%c %m%n");
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(QueuedLines);
    queue->setBlocking(false);
    queue->addAppender(console);
    log4cxx::BasicConfigurator::configure(queue);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void closeLog()
{
    log4cxx::LogManager::shutdown();
}

LogBudget::LogBudget(std::uint32_t linesPerSecond)
    : linesPerSecond(linesPerSecond)
{
}

void LogBudget::setBound(std::uint32_t linesPerSecond)
{
    this->linesPerSecond.store(linesPerSecond, std::memory_order_relaxed);
}

bool LogBudget::tryTake(std::int64_t second)
{
    auto last = this->second.load(std::memory_order_relaxed);
    if (last != second && this->second.compare_exchange_strong(last, second, std::memory_order_relaxed)) {
        this->taken.store(0, std::memory_order_relaxed);
    }
    if (this->taken.fetch_add(1, std::memory_order_relaxed) < this->linesPerSecond.load(std::memory_order_relaxed)) {
        return true;
    }
    this->leftOut.fetch_add(1, std::memory_order_relaxed);
    return false;
}

std::uint64_t LogBudget::takeLeftOut()
{
    return this->leftOut.exchange(0, std::memory_order_relaxed);
}

Logger::Logger(LogPart part)
    : name(nameOf(part))
{
}

void Logger::info(const std::string &sentence, LogFields fields) const
{
    if (!budget().tryTake(currentSecond())) {
        return;
    }
    const auto leftOut = budget().takeLeftOut();
    if (leftOut > 0) {
        this->warn("Informative lines were left out to bound the log.", {{"lines", std::to_string(leftOut)}});
    }
    LOG4CXX_INFO(log4cxx::Logger::getLogger(this->name), logLine(sentence, fields));
}

void Logger::warn(const std::string &sentence, LogFields fields) const
{
    LOG4CXX_WARN(log4cxx::Logger::getLogger(this->name), logLine(sentence, fields));
}

void Logger::error(const std::string &sentence, LogFields fields) const
{
    LOG4CXX_ERROR(log4cxx::Logger::getLogger(this->name), logLine(sentence, fields));
}

} // namespace waxwingloft
